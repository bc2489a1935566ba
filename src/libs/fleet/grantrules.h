#pragma once

namespace CassiaRelay::Fleet {

/** Rules that make grants safe. Only tests disable a rule, to show that they detect the violation that follows. */
struct GrantRules {
    bool caughtUpOnly = true;               ///< a member that may lack grant records does not grant
    bool majorityOfMembers = true;          ///< a majority of all members is needed, not only of those that answered
    bool keepUnknown = true;                ///< the grant of a stage that may have run is never released
    bool ignoreReplacedIncarnations = true; ///< votes of a replaced process do not count
    bool pulledRecordIsNoVote = true;       ///< a pulled record is no vote, not even for the holder that it names
    bool sameViewOnly = true;               ///< a pull is answered only by a member in the view of the puller
    bool quorumOfEveryView = true;          ///< a quorum of each view since the last one in which a member was caught up has to answer
};

} // namespace CassiaRelay::Fleet
