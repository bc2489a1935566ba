#pragma once

namespace CassiaRelay::Fleet {

/** Quarantine state of a request body in the cell. */
enum class QuarantineState {
    Clear,
    Suspect,     ///< one target was lost while running it: runs alone
    Quarantined, ///< refused
};

} // namespace CassiaRelay::Fleet
