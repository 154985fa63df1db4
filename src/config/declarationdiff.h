#ifndef BRONZESHED_CONFIG_DECLARATIONDIFF_H
#define BRONZESHED_CONFIG_DECLARATIONDIFF_H

#include "config/declaration.h"

#include <string>
#include <vector>

namespace bronzeshed {

enum class ChangeKind { Added, Removed, Changed };

enum class ChangeSubject { Class, Service, Measuring };

/** One difference between two declarations. Values have the syntax of the declaration. */
struct DeclarationChange
{
    ChangeKind kind = ChangeKind::Changed;
    ChangeSubject subject = ChangeSubject::Class;
    std::string name; ///< class or service name; empty for ChangeSubject::Measuring
    std::string key; ///< empty if the whole class or service was added or removed
    std::string before;
    std::string after;

    bool operator==(const DeclarationChange &) const = default;

    /** Formats the change, for example as "class.schedule-reads.answer_within_ms: 50 -> 40". */
    std::string toString() const;
};

/** Returns the changes from @p before to @p after, sorted by name within each subject. */
std::vector<DeclarationChange> diffDeclarations(const Declaration &before,
                                                const Declaration &after);

} // namespace bronzeshed

#endif
