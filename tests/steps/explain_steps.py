"""Steps for the history of a request."""

from behave import then, when

from apricotpin.commands.explain import format_line, request_history

_PICKED = (
    'time=2026-01-01T00:00:01.000+00:00 level=info event=picked host=e1 id=a1'
)
_ENDED = (
    'time=2026-01-01T00:00:02.000+00:00 level=info event=ended host=e1 id=a1'
)
_LATER = '2026-01-01T00:00:05.000'
_FIRST = '2026-01-01T00:00:01.000'
_LINES = {
    'one host': [_PICKED, _ENDED],
    'two hosts': [
        _PICKED.replace('e1', 'e2').replace(_FIRST, _LATER),
        _PICKED,
        _ENDED.replace('event=ended', 'event=failed'),
        _ENDED.replace('e1', 'e2'),
    ],
    'a truncated line': [_PICKED, _ENDED[:50], f'{_ENDED[:60]} error="no a1'],
    'a clock that was set back': [_PICKED.replace(_FIRST, _LATER), _ENDED],
    'other requests': [_PICKED.replace('a1', 'b2')],
    'a similar id': [_PICKED.replace('id=a1', 'id=a11')],
}


@when('explain reads log lines with {kind} for the request a1')
def read_lines(context, kind):
    context.history = request_history('a1', _LINES[kind])


@then('explain shows {history}')
def shows(context, history):
    found = ', '.join(fields['event'] for fields in context.history)
    assert (found or 'nothing') == history, found
    for fields in context.history:
        assert fields['event'] in format_line(fields)
