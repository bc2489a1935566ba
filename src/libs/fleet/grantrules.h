#pragma once

namespace CassiaRelay::Fleet {

/** Rules that make grants safe. Only tests disable one, to show that the resulting violation is found. */
struct GrantRules {
    bool caughtUpOnly = true;               ///< a member that may lack grant records does not grant
    bool majorityOfMembers = true;          ///< a majority of all members is needed, not only of those that answered
    bool keepUnknown = true;                ///< the grant of a stage that may have run is never released
    bool ignoreReplacedIncarnations = true; ///< votes of a replaced process do not count
    bool pulledRecordIsNoVote = true;       ///< a pulled record is no vote, not even for the holder that it names
    bool sameViewOnly = true;               ///< a pull is answered only by a member in the view of the puller
    bool quorumOfEveryView = true;          ///< a quorum of every view since the last caught-up one has to answer
};

} // namespace CassiaRelay::Fleet
