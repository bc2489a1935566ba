#pragma once

namespace CassiaRelay::Fleet {

/** What the cell thinks of a request body. */
enum class QuarantineState {
    Clear,
    Suspect,     ///< one target died with it aboard: runs alone
    Quarantined, ///< refused
};

} // namespace CassiaRelay::Fleet
