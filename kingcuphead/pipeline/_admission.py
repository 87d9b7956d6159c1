"""Admission stage: checks an identified request against the configuration."""

import dataclasses
import hashlib
from typing import Any

from expression import Error, Ok

from kingcuphead.api import (
    ApiLimits,
    ChatRequest,
    bound_tokens,
    get_output_cap,
    parse_chat,
)
from kingcuphead.pipeline._stages import (
    Admitted,
    ChatWork,
    Identified,
    ServiceWork,
    Work,
)
from kingcuphead.records import (
    Budget,
    Configuration,
    Model,
    ServiceKind,
    WorkClass,
)
from kingcuphead.verdict import Execution, Outcome, Reason, Verdict

#: Leading bytes of the messages whose digest selects the target with a warm KV cache.
AFFINITY_PREFIX_BYTES = 512
#: Size of fingerprints and affinity keys before hex encoding, in bytes.
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRules:
    """Configuration and limits that admission applies."""

    #: The configuration in force when the request arrived.
    configuration: Configuration
    #: Size limits above which a request is refused.
    limits: ApiLimits
    #: Deadline for the first token, in seconds after arrival, where neither the caller
    #: nor the work class sets one.
    default_deadline: float


def admit_chat(identified: Identified, rules: AdmissionRules) -> Outcome[Admitted]:
    """Check a chat request and compute the upper bound on its cost."""
    received = identified.received
    return parse_chat(received.body, received.headers, rules.limits).bind(
        lambda chat: _resolve_chat_work(identified, chat, rules.configuration).map(
            lambda work: _build_admitted(
                identified, work, rules, _get_prompt_prefix(chat)
            )
        )
    )


def admit_service(
    identified: Identified, name: str, path: str, rules: AdmissionRules
) -> Outcome[Admitted]:
    """Check a call to a plain service.

    Parameters
    ----------
    identified
        The request and its organisation.
    name
        Name of the service in the request.
    path
        Path and query that the target receives.
    rules
        The configuration and the limits.
    """
    service = rules.configuration.services.get(name)
    allowed = name in identified.organisation.services
    if service is None or not allowed or service.kind is not ServiceKind.PLAIN:
        return _refuse(
            Reason.SERVICE_NOT_FOUND, "the service does not exist or is not allowed"
        )
    return Ok(_build_admitted(identified, ServiceWork(service, path), rules, b""))


def _resolve_chat_work(
    identified: Identified, chat: ChatRequest, configuration: Configuration
) -> Outcome[ChatWork]:
    organisation = identified.organisation
    model = configuration.models.get(chat.model)
    if model is None or chat.model not in organisation.models:
        return _refuse(
            Reason.MODEL_NOT_ALLOWED, "the model does not exist or is not allowed"
        )
    budget = configuration.budgets.get(organisation.budget)
    if budget is None:
        return _refuse(
            Reason.BUDGET_EXHAUSTED, "the organisation's budget does not exist"
        )
    return Ok(_build_chat_work(chat, model, budget, configuration))


def _build_chat_work(
    chat: ChatRequest, model: Model, budget: Budget, configuration: Configuration
) -> ChatWork:
    return ChatWork(
        chat=chat,
        model=model,
        service=_find_service(model, configuration),
        budget=budget,
        bound_tokens=bound_tokens(chat, model),
        max_tokens=get_output_cap(chat, model),
    )


def _find_service(model: Model, configuration: Configuration) -> str:
    """Return the service whose targets serve a model; "" if there is none."""
    services = {
        target.service
        for target in configuration.targets.values()
        if model.name in target.models
    }
    return min(services, default="")


def _build_admitted(
    identified: Identified, work: Work, rules: AdmissionRules, prefix: bytes
) -> Admitted:
    name = identified.headers.work_class
    work_class = rules.configuration.classes.get(
        name, WorkClass(name=name, rank=0, deadline=rules.default_deadline)
    )
    seconds = identified.headers.deadline or work_class.deadline
    return Admitted(
        identified=identified,
        work=work,
        work_class=work_class,
        deadline=identified.received.received_at + seconds,
        fingerprint=_digest(identified.organisation.name, identified.received.body),
        affinity_key=_digest(identified.organisation.name, prefix).encode(),
    )


def _get_prompt_prefix(chat: ChatRequest) -> bytes:
    return bytes(chat.passed["messages"])[:AFFINITY_PREFIX_BYTES]


def _digest(organisation: str, content: bytes) -> str:
    """Return a digest of the organisation and the content.

    The organisation is included so that no organisation can guess the digest of
    another one's content.
    """
    digest = hashlib.blake2b(organisation.encode(), digest_size=DIGEST_BYTES)
    digest.update(b"\0" + content)
    return digest.hexdigest()


def _refuse(reason: Reason, detail: str) -> Outcome[Any]:
    return Error(Verdict(Execution.NOT_RUN, reason, detail))
