"""An index of one version of the declarations, for look-ups in constant time."""

from collections.abc import Iterable

from endivesaddle.fleet.routes.declared import Declarations, Route, RouteAccount, Service


class DeclarationIndex:
    """One version of the declarations, indexed."""

    def __init__(self, declared: Declarations) -> None:
        """Index routes by host and prefix, services and accounts by name, accounts by key."""
        self.declared = declared
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in declared.routes
        }
        self.services: dict[str, Service] = {service.name: service for service in declared.services}
        self.accounts: dict[str, RouteAccount] = {
            account.name: account for account in declared.accounts
        }
        self._by_key = {key: account for account in declared.accounts for key in account.keys}

    @property
    def version(self) -> int:
        """The version of the declarations."""
        return self.declared.version

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, None if it has none."""
        name = host.partition(':')[0].lower()
        for prefix in prefixes(path):
            route = self._routes.get((name, prefix))
            if route is not None:
                return route
        return None

    def account_of(self, key: str) -> RouteAccount | None:
        """Return the account that a key belongs to, None if there is none."""
        return self._by_key.get(key)


def prefixes(path: str) -> Iterable[str]:
    """Yield the prefixes of a path that end with a slash, the longest first."""
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)
