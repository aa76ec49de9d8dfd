"""The calls between instances, by path and message types.

``instances`` serves and makes them over grpclib; stand-ins in one process
dispatch them directly.  One table, so that no path is written twice.
"""

from typing import Generic, NamedTuple, TypeVar

from endivesaddle.wire import holders_pb2, members_pb2, routers_pb2, runs_pb2

Asked = TypeVar('Asked')
Answered = TypeVar('Answered')


class Rpc(NamedTuple, Generic[Asked, Answered]):
    """One call: its path, and the types of message and reply."""

    path: str
    asked: type[Asked]
    answered: type[Answered]


_HOLDERS = '/endivesaddle.holders.Holders/'
_RUNS = '/endivesaddle.runs.Runs/'
_MEMBERS = '/endivesaddle.members.Members/'
_ROUTERS = '/endivesaddle.routers.Routers/'

CLAIM = Rpc(f'{_HOLDERS}Claim', holders_pb2.ClaimRequest, holders_pb2.ClaimReply)
ASK = Rpc(f'{_HOLDERS}Ask', holders_pb2.AskRequest, holders_pb2.AskReply)
NOTE = Rpc(f'{_HOLDERS}Note', holders_pb2.NoteRequest, holders_pb2.NoteReply)
SETTLE = Rpc(f'{_HOLDERS}Settle', holders_pb2.SettleRequest, holders_pb2.SettleReply)
COPY = Rpc(f'{_HOLDERS}Copy', holders_pb2.CopyRequest, holders_pb2.CopyReply)
FIND = Rpc(f'{_HOLDERS}Find', holders_pb2.FindRequest, holders_pb2.FindReply)
TRANSFER = Rpc(f'{_HOLDERS}Transfer', holders_pb2.TransferRequest, holders_pb2.TransferReply)
SEAL_CLAIMS = Rpc(f'{_HOLDERS}Seal', holders_pb2.SealRequest, holders_pb2.SealReply)

START = Rpc(f'{_RUNS}Start', runs_pb2.StartRequest, runs_pb2.StartReply)
FOLLOW = Rpc(f'{_RUNS}Follow', runs_pb2.FollowRequest, runs_pb2.Chunk)
CANCEL = Rpc(f'{_RUNS}Cancel', runs_pb2.CancelRequest, runs_pb2.CancelReply)
DRAIN = Rpc(f'{_RUNS}Drain', runs_pb2.DrainRequest, runs_pb2.DrainReply)
ORDER = Rpc(f'{_RUNS}Order', runs_pb2.OrderRequest, runs_pb2.OrderReply)
REPORT = Rpc(f'{_RUNS}Report', runs_pb2.LoadRequest, runs_pb2.Load)
SEAL_RUNS = Rpc(f'{_RUNS}Seal', holders_pb2.SealRequest, holders_pb2.SealReply)

BEAT = Rpc(f'{_MEMBERS}Beat', members_pb2.BeatRequest, members_pb2.BeatReply)
EXCHANGE = Rpc(f'{_MEMBERS}Exchange', members_pb2.ExchangeRequest, members_pb2.ExchangeReply)
PUSH = Rpc(f'{_MEMBERS}Push', members_pb2.PushRequest, members_pb2.PushReply)
PULL = Rpc(f'{_MEMBERS}Pull', members_pb2.PullRequest, members_pb2.PullReply)
DUMP = Rpc(f'{_MEMBERS}Dump', members_pb2.DumpRequest, members_pb2.DumpReply)

WORD = Rpc(f'{_ROUTERS}Exchange', routers_pb2.Word, routers_pb2.WordReply)
DRAW = Rpc(f'{_ROUTERS}Draw', routers_pb2.DrawRequest, routers_pb2.DrawReply)
HELD = Rpc(f'{_ROUTERS}Held', routers_pb2.HeldRequest, routers_pb2.HeldReply)
BOARD = Rpc(f'{_ROUTERS}Board', routers_pb2.BoardRequest, routers_pb2.BoardReply)
ENTER = Rpc(f'{_ROUTERS}Enter', routers_pb2.EnterRequest, routers_pb2.EnterReply)
ORIGINS = Rpc(f'{_ROUTERS}Origins', routers_pb2.OriginsRequest, routers_pb2.OriginsReply)
STORE = Rpc(f'{_ROUTERS}Store', routers_pb2.StoreAsk, routers_pb2.StoreReply)
READ = Rpc(f'{_ROUTERS}Read', routers_pb2.StoreAsk, routers_pb2.Part)
DECLARATIONS = Rpc(f'{_ROUTERS}Declarations', routers_pb2.DeclarationsRequest, routers_pb2.Part)

STREAMED = frozenset((FOLLOW, READ, DECLARATIONS))
"""Calls that are answered with any number of messages."""

ALL = (
    CLAIM, ASK, NOTE, SETTLE, COPY, FIND, TRANSFER, SEAL_CLAIMS,
    START, FOLLOW, CANCEL, DRAIN, ORDER, REPORT, SEAL_RUNS,
    BEAT, EXCHANGE, PUSH, PULL, DUMP,
    WORD, BOARD, DRAW, HELD, ENTER, ORIGINS, STORE, READ, DECLARATIONS,
)  # fmt: skip
