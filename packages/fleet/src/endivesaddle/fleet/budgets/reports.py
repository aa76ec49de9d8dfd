"""The records with which a holder replies to a seal: reservations and direct transfers."""

from endivesaddle.fleet.budgets import epoch_usage
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.wire import holders_pb2


def own_report(held: HeldShard) -> list[holders_pb2.Record]:
    """Return all reservations and bills of a past epoch of this instance."""
    report = [_record(held, epoch_usage.HELD)]
    for account, ledger in held.ledgers.items():
        grant = held.budget(account)['grants'].get(held.data_centre)
        report.extend(_runs(held, account, ledger, 0 if grant is None else grant.batch))
        report.extend(transfer_report(held, account, ledger))
    return report


def other_report(held: HeldShard, data_centre: str, below_epoch: int) -> list[holders_pb2.Record]:
    """Return this holder's direct transfers from and to past epochs of another data centre.

    Failure: a holder without a grant from the store spends directly transferred tokens
    and dies before it has recorded the transfer.  Symptom: its successor finds no stranded
    tokens and drops the past epoch, and the spent tokens are neither billed nor counted as
    in use.  The donor knows the tokens it gave; with its report they become stranded.
    """
    report = [_record(held, epoch_usage.HELD)]
    for account, ledger in held.ledgers.items():
        for transfer_id, transfer in {**ledger.pending.received, **ledger.pending.given}.items():
            if transfer.data_centre == data_centre and transfer.epoch < below_epoch:
                report.append(_transferred(held, account, transfer_id, transfer.tokens))
    return report


def transfer_report(held: HeldShard, account: str, ledger: Ledger) -> list[holders_pb2.Record]:
    """Return the direct transfers that aren't recorded in the store yet."""
    pending = {**ledger.pending.received, **ledger.pending.given}
    return [
        _transferred(held, account, transfer_id, transfer.tokens)
        for transfer_id, transfer in pending.items()
    ]


def _runs(
    held: HeldShard, account: str, ledger: Ledger, first_batch: int
) -> list[holders_pb2.Record]:
    reserved = [
        _record(
            held,
            epoch_usage.RESERVED,
            account=account,
            request_key=request_key,
            bound_tokens=reservation.bound_tokens,
            batch=reservation.batch,
        )
        for request_key, reservation in ledger.open.items()
    ]
    settled = [
        _record(
            held,
            epoch_usage.SETTLED,
            account=account,
            request_key=request_key,
            used_tokens=ended.billed_tokens,
            batch=ended.batch,
        )
        for request_key, ended in ledger.ended.items()
        if ended.batch >= first_batch
    ]
    return reserved + settled


def _transferred(
    held: HeldShard, account: str, transfer_id: str, tokens: int
) -> holders_pb2.Record:
    return _record(
        held, epoch_usage.TRANSFERRED, account=account, request_key=transfer_id, bound_tokens=tokens
    )


def _record(
    held: HeldShard,
    state: str,
    account: str = '',
    request_key: str = '',
    bound_tokens: int = 0,
    used_tokens: int = 0,
    batch: int = 0,
) -> holders_pb2.Record:
    return holders_pb2.Record(
        state=state,
        shard=held.shard,
        data_centre=held.data_centre,
        epoch=held.epoch,
        account=account,
        request_key=request_key,
        bound_tokens=bound_tokens,
        used_tokens=used_tokens,
        batch=batch,
    )
