"""Describe the state of the budgets for state dumps and metrics."""

from typing import Any

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.shard_manager import ShardManager


def describe(shard_manager: ShardManager) -> dict[str, Any]:
    """Return the state of all held shards and their accounts, in tokens and Unix seconds."""
    shards = {
        shard: {'state': 'being taken'} if held is None else _shard(held)
        for shard, held in shard_manager.held_shards.items()
    }
    accounts = {
        account: _account(held, account)
        for held in shard_manager.held_shards.values()
        if held is not None
        for account in held.ledgers
    }
    return {
        'shards': shards,
        'accounts': accounts,
        'store_read_bytes': shard_manager.records.read_bytes,
        'store_written_bytes': shard_manager.records.written_bytes,
    }


def _shard(held: HeldShard) -> dict[str, Any]:
    return {
        'state': held.stop_reason or 'held',
        'data_centre': held.data_centre,
        'epoch': held.epoch,
        'recovered': held.recovered,
        'store_reachable': held.reachable,
        'seen_unix_s': held.seen_unix_s,
    }


def _account(held: HeldShard, account: str) -> dict[str, Any]:
    ledger = held.ledgers[account]
    budget = held.budget(account)
    return {
        'budget_tokens': records.total_tokens(budget),
        'settled_tokens': ledger.settled,
        'reserved_tokens': ledger.reserved,
        'ceiling_tokens': ledger.ceiling,
        'taken': {name: transfer.tokens for name, transfer in ledger.pending.received.items()},
        'given': {name: transfer.tokens for name, transfer in ledger.pending.given.items()},
        'seen': dict(ledger.pending.acknowledged),
        'folding_tokens': ledger.folding,
        'stranded_tokens': sum(entry.ceiling - entry.settled for entry in budget['stranded']),
        'waiting': len(ledger.queue),
        'refused': dict(ledger.refused),
    }
