"""Micro-kernel: named services, bounded mailboxes, ordered stop."""

from collections.abc import Callable, Mapping
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.pool import Group
from gevent.queue import Full, Queue
from loguru import logger
from result import Err, Ok, Result

from apricotpin.const import CALL_TIMEOUT_S, MAILBOX_SIZE
from apricotpin.errors import ErrorKind, Failure

Handler = Callable[[Any, 'Reply'], None]
Handlers = Mapping[type, Handler]


class Started:
    """Announce that every component of the process is registered.

    A service that publishes messages starts its tasks when it receives this
    message, so that services set up later do not miss the first ones.
    """

    __slots__ = ()


class Stopping:
    """Announce that the process is about to stop."""

    __slots__ = ()


class Reply:
    """Deliver the reply to a call; replies to a send are dropped."""

    __slots__ = ('_waiter',)

    def __init__(self, waiter: AsyncResult | None = None) -> None:
        self._waiter = waiter

    def ok(self, content: Any = None) -> None:
        """Reply with a value."""
        self._set(Ok(content))

    def err(self, kind: ErrorKind, detail: str = '') -> None:
        """Reply with a failure."""
        self._set(Err(Failure(kind, detail)))

    def forward(self, outcome: Result[Any, Failure]) -> None:
        """Reply with a result of another call."""
        self._set(outcome)

    def _set(self, outcome: Result[Any, Failure]) -> None:
        if self._waiter is not None and not self._waiter.ready():
            self._waiter.set(outcome)


class Envelope:
    """Hold a message and the reply to it."""

    __slots__ = ('message', 'reply')

    def __init__(self, message: Any, reply: Reply) -> None:
        self.message = message
        self.reply = reply


class Task:
    """Run one service: its mailbox and the greenlet that handles messages."""

    __slots__ = ('greenlet', 'handlers', 'mailbox', 'name', 'on_stop')

    def __init__(
        self,
        name: str,
        handlers: Handlers,
        mailbox_size: int,
        on_stop: Callable[[], None] | None,
    ) -> None:
        self.name = name
        self.handlers = handlers
        self.mailbox: Queue = Queue(maxsize=mailbox_size)
        self.on_stop = on_stop
        self.greenlet: gevent.Greenlet | None = None

    def run(self) -> None:
        """Handle messages one at a time until the greenlet is killed."""
        for envelope in self.mailbox:
            self._handle(envelope)

    def _handle(self, envelope: Envelope) -> None:
        message = envelope.message
        handler = self.handlers.get(type(message))
        if handler is None:
            detail = f'no handler in {self.name} for {type(message).__name__}'
            envelope.reply.err(ErrorKind.INTERNAL, detail)
            return
        try:
            handler(message, envelope.reply)
        except Exception as error:
            # One message that fails must not end the service.
            logger.bind(
                service=self.name,
                message_type=type(message).__name__,
                error=repr(error),
            ).opt(exception=True).error('handler_failed')
            envelope.reply.err(ErrorKind.INTERNAL, repr(error))


class Kernel:
    """Register services by name and carry messages between them."""

    __slots__ = ('_tasks', '_workers', 'name', 'stopping')

    def __init__(self, name: str) -> None:
        self.name = name
        self.stopping = False
        self._tasks: dict[str, Task] = {}
        self._workers = Group()

    def register(
        self,
        name: str,
        handlers: Handlers,
        mailbox_size: int = MAILBOX_SIZE,
        on_stop: Callable[[], None] | None = None,
    ) -> None:
        """Start a service under a name; raise ValueError if it is in use."""
        if name in self._tasks:
            raise ValueError(f'service {name} is registered already')
        task = Task(name, handlers, mailbox_size, on_stop)
        task.greenlet = gevent.spawn(task.run)
        self._tasks[name] = task

    def has_service(self, name: str) -> bool:
        """Return whether a service of this name is registered."""
        return name in self._tasks

    def send(self, name: str, message: Any) -> Result[None, Failure]:
        """Put a message into a mailbox without waiting for a reply."""
        return self._put(name, Envelope(message, Reply()))

    def publish(self, message: Any) -> None:
        """Send a message to every service that handles its class."""
        for name in self.services_handling(type(message)):
            sent = self.send(name, message)
            if sent.is_err():
                # The service keeps what it knew before this message.
                logger.bind(
                    service=name,
                    message_type=type(message).__name__,
                    error=sent.err_value.detail,
                ).warning('message_dropped')

    def services_handling(self, message_class: type) -> list[str]:
        """Return the services that handle messages of a class."""
        return [
            task.name
            for task in self._tasks.values()
            if message_class in task.handlers
        ]

    def call(
        self,
        name: str,
        message: Any,
        timeout_s: float | None = CALL_TIMEOUT_S,
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply, at most timeout_s.

        None stands for no limit. A service that keeps a reply until it has
        something to say must be called like this: what it sends to a caller
        that has given up is lost.
        """
        waiter = AsyncResult()
        sent = self._put(name, Envelope(message, Reply(waiter)))
        if sent.is_err():
            return sent
        try:
            return waiter.get(timeout=timeout_s)
        except gevent.Timeout:
            detail = f'service {name} did not reply within {timeout_s} s'
            return Err(Failure(ErrorKind.TIMEOUT, detail))

    def spawn(
        self,
        function: Callable[..., None],
        *args: Any,
    ) -> gevent.Greenlet:
        """Start a greenlet that is killed when the kernel stops."""
        worker = gevent.Greenlet(function, *args)
        self._workers.start(worker)
        return worker

    def send_every(self, name: str, message: Any, period_s: float) -> None:
        """Send a message to a service every period_s seconds."""
        self.spawn(self._send_repeatedly, name, message, period_s)

    def stop(self) -> None:
        """Stop services in reverse order of set-up, then kill all greenlets."""
        self.stopping = True
        self.publish(Stopping())
        for task in reversed(list(self._tasks.values())):
            if task.on_stop is not None:
                task.on_stop()
        self._workers.kill()
        gevent.killall([service.greenlet for service in self._tasks.values()])

    def _put(self, name: str, envelope: Envelope) -> Result[None, Failure]:
        task = self._tasks.get(name)
        if task is None:
            detail = f'no service is registered under the name {name}'
            return Err(Failure(ErrorKind.UNKNOWN_NAME, detail))
        try:
            task.mailbox.put_nowait(envelope)
        except Full:
            detail = f'mailbox of {name} is full, limit {task.mailbox.maxsize}'
            return Err(Failure(ErrorKind.MAILBOX_FULL, detail))
        return Ok(None)

    def _send_repeatedly(
        self, name: str, message: Any, period_s: float
    ) -> None:
        while True:
            gevent.sleep(period_s)
            self.send(name, message)
