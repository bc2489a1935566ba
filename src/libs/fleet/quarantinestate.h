#pragma once

namespace CassiaRelay::Fleet {

/** Quarantine state of a request body in the cell. */
enum class QuarantineState {
    Clear,
    Suspect,     ///< one target was lost while running the body; a request with it runs alone
    Quarantined, ///< requests with the body are refused
};

} // namespace CassiaRelay::Fleet
