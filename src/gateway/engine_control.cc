#include "gateway/engine_control.h"

namespace lacewing::gateway {

const char* toString(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyHolds:
        return "already_holds";
    case OrderOutcome::OutOfSequence:
        return "out_of_sequence";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::WrongInstance:
        return "wrong_instance";
    case OrderOutcome::Invalid:
        return "invalid";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lacewing::gateway
