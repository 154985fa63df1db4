#ifndef BRONZESHED_TESTS_PROCESSES_MEMBERSHIPPROCESSES_H
#define BRONZESHED_TESTS_PROCESSES_MEMBERSHIPPROCESSES_H

#include "base/settings.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bronzeshed {

/** A binary of ours that runs until the end of this object. */
class ChildProcess
{
public:
    /** Starts the binary and waits until it listens. */
    ChildProcess(const std::string &binary, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /** Ends the process at once. */
    void kill();
    const Endpoint &endpoint() const { return this->address; }

private:
    pid_t pid = -1;
    Endpoint address;
};

/** Agent and entry of one instance. */
struct TestInstance
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
struct TestDeployment
{
    TestDeployment();

    /** Starts an instance in a region of its own, so that lookups show which members it knows. */
    void startInstance(const std::string &region);
    void publishSeed(const Endpoint &agent) const;
    /** Writes a version to the store, whose revisions count from 1 with the versions. */
    void putVersion(std::int64_t version) const;

    ChildProcess store;
    ChildProcess list; ///< apart from the store, so that one can fail without the other
    std::vector<TestInstance> instances;
};

/** Waits until @p condition holds. The limit only ends a test that has failed. */
bool eventually(const std::function<bool()> &condition);

} // namespace bronzeshed

#endif
