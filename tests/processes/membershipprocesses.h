#ifndef BRONZESHED_TESTS_PROCESSES_MEMBERSHIPPROCESSES_H
#define BRONZESHED_TESTS_PROCESSES_MEMBERSHIPPROCESSES_H

#include "childprocess.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzeshed {

/** Agent and entry of one instance. */
struct MemberInstance
{
    std::unique_ptr<ChildProcess> agent;
    std::unique_ptr<ChildProcess> entry;

    /** Callers' addresses in the entry's lookup answers; empty if it refuses. */
    std::set<std::string> lookup() const;
    /** Version in the entry's lookup answer; 0 if it refuses. */
    std::int64_t configVersion() const;
    std::string entryAddress() const { return this->entry->endpoint().toString(); }
};

/** Platform stand-ins with a configuration and the instances of one deployment. */
struct MembershipDeployment
{
    MembershipDeployment();

    /** Starts an instance in a region of its own, so that lookups show which members it knows. */
    void startInstance(const std::string &region);
    void publishSeed(const Endpoint &agent) const;
    /** Writes a version to the store, whose revisions count from 1 with the versions. */
    void putVersion(std::int64_t version) const;

    ChildProcess store;
    ChildProcess list; ///< apart from the store, so that one can fail without the other
    std::vector<MemberInstance> instances;
};

} // namespace bronzeshed

#endif
