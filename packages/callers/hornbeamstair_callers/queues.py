"""Weighted fair queues of the calls that wait for a slot."""

from collections import OrderedDict
from heapq import heappop, heappush

from attrs import define, field, frozen

from hornbeamstair_core.ids import CustomerId
from hornbeamstair_operators.messages import Urgency

__all__ = ('FairQueue', 'QueuedCall', 'ServiceQueue')


@frozen
class QueuedCall:
    """Call that waits for a slot."""

    call_id: int
    customer: CustomerId
    weight: int
    urgency: Urgency
    deadline: float


@define
class FairQueue:
    """Weighted fair queue of the calls of one urgency."""

    virtual_time: float = 0
    calls: dict[CustomerId, OrderedDict[int, QueuedCall]] = field(factory=dict)
    finish_times: dict[CustomerId, float] = field(factory=dict)
    heap: list[tuple[float, CustomerId]] = field(factory=list)

    def push(self, call: QueuedCall) -> None:
        """Append a call to those of its customer."""
        waiting = self.calls.get(call.customer)
        if waiting is None:
            waiting = OrderedDict()
            self.calls[call.customer] = waiting
            self._schedule(call.customer, call.weight)
        waiting[call.call_id] = call

    def pop(self) -> QueuedCall | None:
        """Remove and return the next call; None if the queue is empty."""
        while self.heap:
            finish_time, customer = heappop(self.heap)
            waiting = self.calls[customer]
            if not waiting:
                self._discard(customer)
                continue
            self.virtual_time = max(self.virtual_time, finish_time)
            call = waiting.popitem(last=False)[1]
            if waiting:
                self._schedule(customer, call.weight)
            else:
                self._discard(customer)
            return call
        return None

    def remove(self, call: QueuedCall) -> bool:
        """Remove a call; return False if it is not queued."""
        waiting = self.calls.get(call.customer)
        if waiting is None:
            return False
        return waiting.pop(call.call_id, None) is not None

    def _schedule(self, customer: CustomerId, weight: int) -> None:
        last_finish_time = self.finish_times.get(customer, 0)
        finish_time = max(self.virtual_time, last_finish_time) + 1 / weight
        self.finish_times[customer] = finish_time
        heappush(self.heap, (finish_time, customer))

    def _discard(self, customer: CustomerId) -> None:
        self.calls.pop(customer)
        if self.finish_times[customer] <= self.virtual_time:
            self.finish_times.pop(customer)


@define
class ServiceQueue:
    """Queue of the calls of one service, urgent ones before batch ones."""

    by_urgency: dict[Urgency, FairQueue] = field(
        factory=lambda: {urgency: FairQueue() for urgency in Urgency},
    )
    length: int = 0

    def push(self, call: QueuedCall) -> None:
        """Append a call."""
        self.by_urgency[call.urgency].push(call)
        self.length += 1

    def pop(self) -> QueuedCall | None:
        """Remove and return the next call; None if the queue is empty."""
        for urgency in Urgency:
            call = self.by_urgency[urgency].pop()
            if call is not None:
                self.length -= 1
                return call
        return None

    def remove(self, call: QueuedCall) -> None:
        """Remove a call if it is still queued."""
        if self.by_urgency[call.urgency].remove(call):
            self.length -= 1
