#ifndef BRONZESHED_MODEL_MODELRUN_H
#define BRONZESHED_MODEL_MODELRUN_H

#include "model/modeloptions.h"
#include "model/modelpolicy.h"
#include "model/modelresult.h"

namespace bronzeshed {

/** Runs @p policy in virtual time. The same options give the same result. */
ModelResult runModel(const ModelOptions &options, const ModelPolicy &policy);

} // namespace bronzeshed

#endif
