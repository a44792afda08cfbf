"""Tests of the rules by which documents are adopted."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from slatechute import errors
from slatechute import events
from slatechute.configuration import instances
from slatechute.configuration import store
from slatechute.platforms import base

_TARGET = {"id": "t1", "address": "10.0.0.1:80", "data_centre": "d1"}
_TARGET["state"] = "live"
_ENTRY = _TARGET | {"id": "e1", "peer_address": "h:1", "admin_address": "h:2"}


def _document(revision, text="", name=base.CONFIGURATION):
    return base.Document(name, revision, {"a.toml": text})


def _valid(revision):
    return _document(revision, f"fleet.keep_ms = {1000 + revision}")


def _invalid(revision):
    return _document(revision, "fleet.keep_ms = 'x'")


def _store():
    bus = events.EventBus()
    adopted = []
    bus.stream(events.ConfigurationAdopted).subscribe(adopted.append)
    bus.stream(events.InstancesAdopted).subscribe(adopted.append)
    return store.DocumentStore(bus), adopted


def test_valid_revision_follows_a_rejected_one():
    """Guards against a rejected revision that becomes active.

    Also guards against one that is missing in the status or prevents the
    adoption of the corrected one.
    """
    documents, adopted = _store()
    documents.offer(_valid(6), store.PLATFORM)
    decision = documents.offer(_invalid(7), store.PLATFORM)
    assert decision.verdict is store.Verdict.INVALID
    assert "keep_ms" in decision.problems[0]
    status = documents.status()[base.CONFIGURATION]
    assert (status.revision, status.highest_revision) == (6, 7)
    assert [rejection.revision for rejection in status.rejections] == [7]
    assert documents.document(base.CONFIGURATION) == _valid(6)
    digests = _invalid(7).digest_by_part
    assert (
        documents.assess(base.CONFIGURATION, 7, digests, "e2")
        is store.Verdict.INVALID
    )
    documents.offer(_valid(8), store.PLATFORM)
    status = documents.status()[base.CONFIGURATION]
    assert (status.revision, status.rejections) == (8, ())
    assert [event.revision for event in adopted] == [6, 8]
    assert adopted[1].configuration.fleet.keep_ms == 1008


def test_older_and_conflicting_documents_change_nothing():
    """Guards against adoption of outdated or conflicting documents.

    A stale platform offers an older revision, or different content with the
    same revision.
    """
    documents, adopted = _store()
    documents.offer(_valid(5), "e2")
    verdicts = [
        documents.offer(document, store.PLATFORM).verdict
        for document in (_valid(4), _invalid(4), _valid(5), _document(5))
    ]
    assert verdicts == ["older", "older", "same", "conflicting"]
    assert documents.document(base.CONFIGURATION) == _valid(5)
    assert len(adopted) == 1


def test_first_document_of_the_platform_is_unconfirmed():
    """Guards against a stale revision that is reported as current.

    All entries have lost their documents and read them from a stale platform.
    """
    documents, _ = _store()

    def is_unconfirmed():
        return documents.status()[base.CONFIGURATION].unconfirmed

    documents.offer(_valid(5), store.PLATFORM)
    documents.offer(_valid(5), store.PLATFORM)
    documents.offer(_document(5), "e2")
    assert is_unconfirmed()
    documents.offer(_valid(5), "e2")
    assert not is_unconfirmed()
    documents, _ = _store()
    documents.offer(_valid(5), store.PLATFORM)
    documents.offer(_valid(6), store.PLATFORM)
    assert not is_unconfirmed()


@pytest.mark.parametrize(
    "document",
    [
        _document(True),
        _document(-1),
        _document(2**53),
        _document(1, "\ud800"),
        _document(1, None),
        _document(1, name="other"),
    ],
    ids=range(6),
)
def test_malformed_documents_are_rejected(document):
    """Guards against a malformed document that crashes the platform watch."""
    documents, adopted = _store()
    verdict = documents.offer(document, store.PLATFORM).verdict
    assert (verdict, adopted) == (store.Verdict.INVALID, [])


def test_stored_rejections_are_bounded():
    """Guards against memory that grows with every rejected revision."""
    documents, _ = _store()
    text = "\n".join(f"k{n} = 1" for n in range(200))
    for revision in range(20):
        documents.offer(_document(revision, text), store.PLATFORM)
    rejections = documents.status()[base.CONFIGURATION].rejections
    assert [rejection.revision for rejection in rejections] == list(
        range(12, 20)
    )
    assert rejections[0].problems[-1] == "and 150 more"


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 6), strategies.booleans())
    ),
    strategies.randoms(use_true_random=False),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_outcome_does_not_depend_on_the_order_of_offers(offers, rng):
    """Guards against hosts with different active documents.

    They received the same documents in different order.
    """
    shuffled = list(offers)
    rng.shuffle(shuffled)
    revisions = []
    for sequence in (offers, shuffled):
        documents, adopted = _store()
        for revision, valid in sequence:
            document = _valid(revision) if valid else _invalid(revision)
            documents.offer(document, "e2")
        seen = [event.revision for event in adopted]
        assert seen == sorted(set(seen))
        revisions.append(documents.status()[base.CONFIGURATION].revision)
    assert revisions[0] == revisions[1]


def _instances(text_by_part):
    return instances.parse(base.Document(base.INSTANCES, 1, text_by_part))


def test_instances_are_parsed_by_service():
    """Guards against targets without their service.

    Also guards against a list that is rejected because the platform added a
    field.
    """
    parsed = _instances(
        {
            "entries": json.dumps([_ENTRY]),
            "plans": json.dumps([_TARGET | {"started": 7}]),
        }
    )
    assert parsed.targets_by_id["t1"] == instances.Target(
        "t1", "plans", "10.0.0.1:80", "d1", "live"
    )
    assert parsed.entries_by_id["e1"].peer_address == "h:1"


def test_invalid_instances_are_rejected_as_a_whole():
    """Guards against a list of which only the valid parts are applied."""
    with pytest.raises(errors.ConfigurationError) as raised:
        _instances(
            {
                "entries": "[" * 9999,
                "plans": json.dumps([_TARGET, _TARGET]),
                "kit": json.dumps([_TARGET | {"address": "h:99999"}]),
                "survey": "{}",
            }
        )
    parts = [problem.split(":")[0] for problem in raised.value.problems]
    assert parts == ["entries", "kit", "plans", "survey"]


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(["entries", "plans", "\ud800"]),
        strategies.text(max_size=50)
        | strategies.lists(
            strategies.sampled_from([_TARGET, _ENTRY, 1, {"id": 2}])
        ).map(json.dumps),
    )
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_any_instances_are_adopted_or_rejected(text_by_part):
    """Guards against unexpected exceptions that propagate out of the parser."""
    documents, adopted = _store()
    document = base.Document(base.INSTANCES, 1, text_by_part)
    verdict = documents.offer(document, "e2").verdict
    assert (verdict is store.Verdict.ADOPTED) == bool(adopted)
