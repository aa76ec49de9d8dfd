"""Steps of runs.feature and runs_bills.feature that check what became of it."""

from typing import Any

from behave import then

from endivesaddle.wire import holders_pb2, runs_pb2


def told(reply: Any) -> str:
    """Return a reply in words."""
    if isinstance(reply, runs_pb2.CancelReply):
        return 'cancel not run' if reply.not_run else 'cancel'
    if isinstance(reply, runs_pb2.StartReply) and reply.verdict == 'refused':
        return f'{reply.code} not run' if reply.not_run else reply.code
    return getattr(reply, 'verdict', '')


def told_end(end: runs_pb2.End) -> str:
    """Return the end of an answer in words."""
    words = (end.outcome, end.code, 'not run' if end.not_run else '')
    return ' '.join(word for word in words if word)


@then('the sidecar\'s replies are "{text}"')
def replies(context: Any, text: str) -> None:
    """Compare all replies."""
    found = ', '.join(told(reply) for reply in context.subject.played().replies)
    assert found == text, found


@then('the sidecar\'s last reply is "{text}"')
def last_reply(context: Any, text: str) -> None:
    """Compare the last reply."""
    found = told(context.subject.played().replies[-1])
    assert found == text, found


@then('some of the sidecar\'s replies are "{text}" and the engine got only the others')
def some_replies(context: Any, text: str) -> None:
    """Count refusals against arrivals."""
    subject = context.subject.played()
    refused = [told(reply) for reply in subject.replies].count(text)
    assert 0 < refused < len(subject.replies), refused
    assert len(subject.state.seen) == len(subject.replies) - refused


@then('the sidecar\'s engine got "{key}" {times:d} time')
@then('the sidecar\'s engine got "{key}" {times:d} times')
def engine_got(context: Any, key: str, times: int) -> None:
    """Count arrivals."""
    seen = context.subject.played().state.seen
    assert seen.count(key) == times, seen


@then('the sidecar\'s engine heard of the cancel of "{key}" after {tokens:d} tokens')
def engine_cancelled(context: Any, key: str, tokens: int) -> None:
    """Compare what was generated."""
    state = context.subject.played().state
    assert key in state.cancelled, state.cancelled
    assert state.generated_tokens[key] == tokens, state.generated_tokens
    assert state.running == 0


@then('the sidecar\'s service took {count:d} remnant of "{plate}"')
def service_took(context: Any, count: int, plate: str) -> None:
    """Count what the service did."""
    assert context.subject.played().service.taken == {plate: count}


@then('answer {number:d} of the sidecar is whole and has status {status:d}')
def whole(context: Any, number: int, status: int) -> None:
    """Compare the bytes and the status."""
    check_whole(context, number)
    assert context.subject.answers[number - 1].status == status


@then('answers {first:d} and {last:d} of the sidecar are whole')
@then('answers {first:d} to {last:d} of the sidecar are whole')
def all_whole(context: Any, first: int, last: int) -> None:
    """Compare the bytes of several."""
    for number in range(first, last + 1):
        check_whole(context, number)


@then('answer {number:d} of the sidecar is whole from byte {offset:d}')
def whole_from(context: Any, number: int, offset: int) -> None:
    """Compare the rest."""
    check_whole(context, number, offset)


def check_whole(context: Any, number: int, offset: int = 0) -> None:
    """Compare an answer with what the engine generates for its key."""
    subject = context.subject.played()
    answer = subject.answers[number - 1]
    key = answer.chunks[0].request_key
    assert answer.data == subject.expected(key)[offset:], (key, answer.data)
    assert answer.end.outcome == 'answered', answer.end
    assert {chunk.request_key for chunk in answer.chunks} == {key}


@then('answer {number:d} of the sidecar ends as "{text}"')
def ends_as(context: Any, number: int, text: str) -> None:
    """Compare the end."""
    found = told_end(context.subject.played().answers[number - 1].end)
    assert found == text, found


@then('answer {number:d} of the sidecar had keep-alives and no silence')
def keep_alives(context: Any, number: int) -> None:
    """Count them."""
    answer = context.subject.played().answers[number - 1]
    count = sum(chunk.keep_alive for chunk in answer.chunks)
    assert count >= 6 and not answer.silences, (count, answer.silences)


@then('answer {number:d} of the sidecar had a silence')
def silence(context: Any, number: int) -> None:
    """Look for it, so that the fault is known to have struck."""
    assert context.subject.played().answers[number - 1].silences


@then('no chunk of the sidecar is longer than {size:d} bytes')
def chunk_sizes(context: Any, size: int) -> None:
    """Look at all of them."""
    answers = context.subject.played().answers
    longest = max(len(chunk.data) for answer in answers for chunk in answer.chunks)
    assert longest <= size, longest


@then('the sidecar never kept more than {size:d} bytes')
def kept_bytes(context: Any, size: int) -> None:
    """Compare the highest count that was met, and the last."""
    subject = context.subject.played()
    assert subject.most_kept_bytes <= size, subject.most_kept_bytes
    assert 0 < subject.runs.counters()['kept_bytes'] <= size


@then('the sidecar remembers {count:d} runs')
def remembers(context: Any, count: int) -> None:
    """Compare the counter."""
    counters = context.subject.played().runs.counters()
    assert counters['remembered'] == count, counters


@then('the sidecar keeps at most {most:d} runs whole and remembers {count:d}')
def keeps_whole(context: Any, most: int, count: int) -> None:
    """Compare the runs that are not past, and all."""
    runs = context.subject.played().runs
    assert 0 < len(runs.dump()['runs']) <= most, len(runs.dump()['runs'])
    assert runs.counters()['remembered'] == count, runs.counters()


@then('the seal told of "{text}"')
def sealed(context: Any, text: str) -> None:
    """Compare the records."""
    found = ', '.join(
        f'{record.request_key} {record.state} {record.used_tokens if record.outcome else 0}'
        for record in seal_reply(context).records
    )
    assert found == text, found


@then("the seal's records carry the bound, the batch and the incarnation")
def sealed_fields(context: Any) -> None:
    """Look at what a new holder needs."""
    for record in seal_reply(context).records:
        assert (record.bound_tokens, record.batch, record.sidecar_incarnation) == (100, 7, 5)


def seal_reply(context: Any) -> holders_pb2.SealReply:
    """Return the reply to the seal."""
    replies = context.subject.played().replies
    return next(reply for reply in replies if isinstance(reply, holders_pb2.SealReply))


@then("the sidecar's graceful stop took from {low:d} to {high:d} seconds")
def stopped(context: Any, low: int, high: int) -> None:
    """Compare the time."""
    took_s = context.subject.played().drained_s
    assert low <= took_s <= high, took_s


@then('the holders heard one bill of {tokens:d} tokens for "{key}"')
def one_bill(context: Any, tokens: int, key: str) -> None:
    """Compare all bills."""
    assert context.subject.played().bills(key) == [tokens], context.subject.bills(key)


@then('the holders heard the same bill of {tokens:d} tokens for "{key}" more than once')
def same_bill(context: Any, tokens: int, key: str) -> None:
    """Compare all bills."""
    bills = context.subject.played().bills(key)
    assert len(bills) > 1 and set(bills) == {tokens}, bills


@then('the other holder alone heard a bill of {tokens:d} tokens for "{key}"')
def other_bill(context: Any, tokens: int, key: str) -> None:
    """Look at both holders."""
    subject = context.subject.played()
    assert key not in subject.holder.bills
    assert subject.bills(key) == [tokens], subject.bills(key)


@then('the bill of "{key}" carries its whole record')
def bill_record(context: Any, key: str) -> None:
    """Look at what a holder that lost the claim needs."""
    record = context.subject.other_holder.bills[key][0].record
    steps = [step.name for step in record.steps]
    assert (record.state, record.outcome, record.epoch) == ('ended', 'answered', 4), record
    assert steps == ['started', 'first_token', 'ended'], steps


@then('the sidecar settles "{key}" no more')
def settled(context: Any, key: str) -> None:
    """Look at the run."""
    runs = context.subject.played().runs.dump()['runs']
    assert [run['settling'] for run in runs if run['request_key'] == key] == ['done'], runs
