"""Adapters of the platform's services: configuration store, instance list, weight store."""

from endivesaddle.platform.etcd import EtcdStore
from endivesaddle.platform.instance_list import InstanceList
from endivesaddle.platform.opening import open_store
from endivesaddle.platform.settings import PlatformSettings
from endivesaddle.platform.weight_store import WeightStore

__all__ = ('EtcdStore', 'InstanceList', 'PlatformSettings', 'WeightStore', 'open_store')
