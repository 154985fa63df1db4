#ifndef BRONZESHED_BASE_ERROR_H
#define BRONZESHED_BASE_ERROR_H

#include <stdexcept>
#include <string>

namespace bronzeshed {

/** Base class of all errors. The message has the form "problem; remedy". */
class Error : public std::runtime_error
{
public:
    Error(const std::string &problem, const std::string &remedy)
        : std::runtime_error(problem + "; " + remedy)
    {
    }
};

/** A flag, an environment variable or a combination of them is invalid. */
class SettingsError : public Error
{
public:
    using Error::Error;
};

/** A declaration cannot be parsed or is inconsistent. */
class DeclarationError : public Error
{
public:
    using Error::Error;
};

/** A platform service or a peer could not be reached or returned an error. */
class UnavailableError : public Error
{
public:
    using Error::Error;
};

/** A message from another process violates its protocol. */
class ProtocolError : public Error
{
public:
    using Error::Error;
};

} // namespace bronzeshed

#endif
