"""Who is live: heartbeats along a tree in each data centre, and the view they give."""

from endivesaddle.fleet.membership.membership import Membership
from endivesaddle.fleet.membership.settings import MembershipSettings

__all__ = ('Membership', 'MembershipSettings')
