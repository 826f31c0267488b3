"""The leader's checks of operators' orders before they are proposed."""

import attrs

from shallothinge.bundles import messages as bundles
from shallothinge.bundles import signatures
from shallothinge.bundles import text
from shallothinge.control import commands
from shallothinge.control import state
from shallothinge.errors import ErrorKind
from shallothinge.operators import messages
from shallothinge.settings import model


@attrs.frozen(kw_only=True)
class Refusal:
    """Why an order is refused."""

    kind: ErrorKind
    detail: str


class OrderChecker:
    """Turns an order into the command that executes it.

    :param operators: the operators and their public keys.
    """

    def __init__(self, *, operators: tuple[model.OperatorKey, ...]):
        self._keys = {key.name: key.public_key for key in operators}

    def build_command(self, order: object) -> object:
        """Return the command to propose for an order.

        A refusal is committed as a command too, so that a resent order gets
        the same refusal.
        """
        refusal = self._refusal_of(order)
        if refusal is None and isinstance(order, messages.SubmitBundle):
            return self._build_submission(order)
        if refusal is None:
            return order
        return _refuse(order, refusal)

    def _refusal_of(self, order) -> Refusal | None:
        if order.operator not in self._keys:
            return Refusal(
                kind=ErrorKind.FORBIDDEN,
                detail=f'{order.operator!r} is no operator of this cluster; '
                'add the public key to the settings of each control host',
            )
        if isinstance(order, messages.SubmitBundle):
            return self._refusal_of_submission(order)
        if isinstance(order, messages.SignOffBundle):
            return self._refusal_of_signature(
                order, signatures.SIGN_OFF_PURPOSE
            )
        return None

    def _refusal_of_submission(self, order) -> Refusal | None:
        if signatures.hash_content(order.content) != order.content_hash:
            return Refusal(
                kind=ErrorKind.BAD_REQUEST,
                detail='content_hash is not the hash of the content',
            )
        return self._refusal_of_signature(order, signatures.SUBMIT_PURPOSE)

    def _refusal_of_signature(self, order, purpose) -> Refusal | None:
        is_valid = signatures.is_valid(
            public_key=self._keys[order.operator],
            purpose=purpose,
            content_hash=order.content_hash,
            signature=order.signature,
        )
        if is_valid:
            return None
        return Refusal(
            kind=ErrorKind.FORBIDDEN,
            detail=f'the signature is not one by the key of {order.operator}',
        )

    def _build_submission(self, order: messages.SubmitBundle) -> object:
        try:
            bundle = text.parse_bundle(order.content)
        except ExceptionGroup as faults:
            lines = [str(fault) for fault in faults.exceptions]
            return _refuse(
                order,
                Refusal(kind=ErrorKind.BAD_REQUEST, detail='\n'.join(lines)),
            )
        return bundles.AcceptBundle(
            order_id=order.order_id,
            fingerprint=state.fingerprint(order),
            operator=order.operator,
            content=order.content,
            content_hash=order.content_hash,
            bundle=bundle,
        )


def _refuse(order, refusal: Refusal) -> commands.RefuseOrder:
    return commands.RefuseOrder(
        fingerprint=state.fingerprint(order),
        answer=messages.OrderAnswered(
            order_id=order.order_id,
            kind=refusal.kind,
            detail=refusal.detail,
        ),
    )
