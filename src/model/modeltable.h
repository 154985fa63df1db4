#ifndef BRONZESHED_MODEL_MODELTABLE_H
#define BRONZESHED_MODEL_MODELTABLE_H

#include "model/modelresult.h"

#include <ostream>
#include <string_view>

namespace bronzeshed {

/** Prints the head of the table of results in Markdown. */
void printTableHead(std::ostream &out);

/** Prints one result. @p ideal is the p99 of the ideal queue at the same load. */
void printTableRow(std::ostream &out, double load, std::string_view policy,
                   const ModelResult &result, Duration ideal);

} // namespace bronzeshed

#endif
