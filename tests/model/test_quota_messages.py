"""Quota messages survive their encoding."""

from __future__ import annotations

from berylspindle_model.codec import from_msgpack, to_msgpack
from berylspindle_model.quota_messages import QuotaAsk, QuotaDenial, QuotaGrant, QuotaReply


def test_messages_are_decoded_as_they_were_encoded() -> None:
    """Guard against a field whose type the codec does not restore."""
    ask = QuotaAsk(
        organisation="org",
        vm="vm-1",
        incarnation=2**62,
        sequence=3,
        received=2,
        held=1,
        standby_rate=0.5,
        standby_tokens=-1,
        demand=1.5,
        waiting=1,
        wanted=2,
    )
    assert from_msgpack(to_msgpack(ask), QuotaAsk) == ask
    for reply in (
        QuotaReply(grant=QuotaGrant(tokens=1, ttl_ms=1500)),
        QuotaReply(reason=QuotaDenial.NOT_OWNER),
    ):
        assert from_msgpack(to_msgpack(reply), QuotaReply) == reply
