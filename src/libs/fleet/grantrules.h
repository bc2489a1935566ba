#pragma once

namespace CassiaRelay::Fleet {

/** Rules that grants rest on. Only tests switch one off, to show that its absence is found. */
struct GrantRules {
    bool caughtUpOnly = true;               ///< a member that may have forgotten grants does not grant
    bool majorityOfMembers = true;          ///< not only of those that answered
    bool keepUnknown = true;                ///< a stage that may have run is never released
    bool ignoreReplacedIncarnations = true; ///< grants of a replaced process do not count
    bool pulledRecordIsNoVote = true;       ///< a pulled record is no vote, also not for the holder it names
    bool sameViewOnly = true;               ///< a pull is answered only in the puller's view
    bool quorumOfEveryView = true;          ///< every view since the last seasoned one has to be vouched for
};

} // namespace CassiaRelay::Fleet
