#ifndef BRONZESHED_CONFIG_DECLARATIONDIFF_H
#define BRONZESHED_CONFIG_DECLARATIONDIFF_H

#include "config/declaration.h"

#include <string>
#include <vector>

namespace bronzeshed {

enum class ChangeKind { Added, Removed, Changed };

enum class ChangeSubject { Class, Service, Measuring };

/** One difference between two declarations. Values are written as in a declaration. */
struct DeclarationChange
{
    ChangeKind kind = ChangeKind::Changed;
    ChangeSubject subject = ChangeSubject::Class;
    std::string name; ///< of the class or service; empty for the measuring budget
    std::string key; ///< empty if the whole class or service was added or removed
    std::string before;
    std::string after;

    bool operator==(const DeclarationChange &) const = default;

    /** For example "class.schedule-reads.answer_within_ms: 50 -> 40". */
    std::string toString() const;
};

/** Differences by which @p after departs from @p before, in the order of their names. */
std::vector<DeclarationChange> diffDeclarations(const Declaration &before,
                                                const Declaration &after);

} // namespace bronzeshed

#endif
