"""Keep the configuration and the views known to a VM, and compute what other VMs lack.

Terms:
  digest   sum and hash of the known state; see `control_messages`
  history  the latest deltas, so that a VM that lags a little doesn't need the full state

Flow: a change from the store or from a peer goes to the `offer` methods. An adopted change is
passed on at once to a few random VMs. Every probe carries the digest, so a VM that missed a change
gets it within a round of probes.

Only a higher revision or epoch is adopted. Otherwise an old watch event, a lagging read, or an
outdated peer of a new VM could bring back a data centre that operators took out. The rule needs no
clock and no order of messages, so it holds under any loss or delay.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs
import xxhash

from berylspindle_model.configuration import Configuration
from berylspindle_model.control_messages import Digest, PullRequest
from berylspindle_model.delta import (
    Changes,
    ConfigurationDelta,
    ViewDelta,
    apply_configuration,
    apply_view,
    configuration_delta,
    view_delta,
)
from berylspindle_model.topology import View

# 4,100 changes a day are three a minute: 64 deltas cover twenty minutes.
MAX_DELTAS: Final = 64


@attrs.frozen(kw_only=True)
class Adopted:
    """The changes adopted from one offer."""

    configuration: bool = False
    views: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return self.configuration or bool(self.views)


class KnownState:
    """The configuration and the views known to one VM; revisions and epochs only grow."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._views: dict[str, View] = {}
        self._deltas: deque[ConfigurationDelta] = deque(maxlen=MAX_DELTAS)
        self._view_deltas: dict[str, deque[ViewDelta]] = {}
        self._mark: tuple[int, int] | None = None

    @property
    def configuration(self) -> Configuration | None:
        """Return the current configuration, or None before the first one."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Return the current revision, or 0 before the first one."""
        return self._configuration.revision if self._configuration is not None else 0

    @property
    def views(self) -> tuple[View, ...]:
        """Return the latest view of each data centre, ordered by name."""
        return tuple(self._views[name] for name in sorted(self._views))

    def view(self, data_centre: str) -> View | None:
        """Return the latest view of a data centre, or None if not known."""
        return self._views.get(data_centre)

    def epoch(self, data_centre: str) -> int:
        """Return the epoch of the latest view of a data centre, or 0 if not known."""
        view = self._views.get(data_centre)
        return view.epoch if view is not None else 0

    def offer_configuration(
        self, configuration: Configuration, delta: ConfigurationDelta | None = None
    ) -> bool:
        """Adopt a configuration if its revision is higher; return whether it was adopted.

        `delta` is the delta from the current configuration, if the caller already has it.
        """
        old = self._configuration
        if configuration.revision <= self.revision:
            return False
        if old is not None:
            self._deltas.append(delta or configuration_delta(old, configuration))
        self._configuration = configuration
        return True

    def offer_view(self, view: View) -> bool:
        """Adopt a view if its epoch is higher; return whether it was adopted."""
        old = self._views.get(view.data_centre)
        if old is not None and view.epoch <= old.epoch:
            return False
        if old is not None:
            history = self._view_deltas.setdefault(view.data_centre, deque(maxlen=MAX_DELTAS))
            history.append(view_delta(old, view))
        self._views[view.data_centre] = view
        self._mark = None
        return True

    def offer(self, changes: Changes) -> Adopted:
        """Adopt the higher revisions and epochs of a message; skip deltas that don't apply."""
        adopted = False
        if changes.configuration is not None:
            adopted = self.offer_configuration(changes.configuration)
        for delta in changes.configuration_deltas:
            current = self._configuration
            updated = apply_configuration(current, delta) if current is not None else None
            if updated is not None and self.offer_configuration(updated, delta):
                adopted = True
        names = {view.data_centre for view in changes.views if self.offer_view(view)}
        for step in changes.view_deltas:
            base = self._views.get(step.data_centre)
            view = apply_view(base, step) if base is not None else None
            if view is not None and self.offer_view(view):
                names.add(view.data_centre)
        return Adopted(configuration=adopted, views=tuple(sorted(names)))

    def digest(self) -> Digest:
        """Return the digest of the known state, without ages and suspicions."""
        if self._mark is None:
            text = "/".join(f"{view.data_centre}:{view.epoch}" for view in self.views)
            mark = xxhash.xxh32_intdigest(text.encode())
            self._mark = (sum(view.epoch for view in self._views.values()), mark)
        return Digest(self.revision, *self._mark)

    def is_behind(self, other: Digest) -> bool:
        """Return whether the sender of a digest has state that this VM lacks."""
        mine = self.digest()
        if other.revision > mine.revision or other.epochs > mine.epochs:
            return True
        return other.epochs == mine.epochs and other.mark != mine.mark

    def request(self, sender: str) -> PullRequest:
        """Return the request for the state that this VM lacks."""
        epochs = {view.data_centre: view.epoch for view in self.views}
        return PullRequest(sender=sender, revision=self.revision, epochs=epochs)

    def changes_since(self, revision: int, epochs: dict[str, int]) -> Changes:
        """Return the changes that a VM with this revision and these epochs lacks."""
        full_configuration: Configuration | None = None
        deltas: tuple[ConfigurationDelta, ...] = ()
        if self.revision > revision:
            deltas = self._deltas_from(revision)
            full_configuration = None if deltas else self._configuration
        views: list[View] = []
        steps: list[ViewDelta] = []
        for view in self.views:
            known = epochs.get(view.data_centre, 0)
            if view.epoch <= known:
                continue
            found = self._view_deltas_from(view.data_centre, known)
            steps.extend(found)
            if not found:
                views.append(view)
        return Changes(
            configuration=full_configuration,
            configuration_deltas=deltas,
            views=tuple(views),
            view_deltas=tuple(steps),
        )

    def _deltas_from(self, revision: int) -> tuple[ConfigurationDelta, ...]:
        chain = tuple(delta for delta in self._deltas if delta.base >= revision)
        return chain if chain and chain[0].base == revision else ()

    def _view_deltas_from(self, data_centre: str, epoch: int) -> tuple[ViewDelta, ...]:
        history = self._view_deltas.get(data_centre, ())
        chain = tuple(delta for delta in history if delta.base >= epoch)
        return chain if chain and chain[0].base == epoch else ()
