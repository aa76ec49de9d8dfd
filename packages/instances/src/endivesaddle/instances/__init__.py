"""Messages between the instances of the system: calls, streams and their links."""

from endivesaddle.instances.peers import GrpcPeers
from endivesaddle.instances.server import serve
from endivesaddle.instances.settings import InstancesSettings

__all__ = ('GrpcPeers', 'InstancesSettings', 'serve')
