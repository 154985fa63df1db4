#ifndef BRONZESHED_BASE_ERROR_H
#define BRONZESHED_BASE_ERROR_H

#include <stdexcept>
#include <string>

namespace bronzeshed {

/** Base of all errors. The message has the form "problem; remedy". */
class Error : public std::runtime_error
{
public:
    Error(const std::string &problem, const std::string &remedy)
        : std::runtime_error(problem + "; " + remedy)
    {
    }
};

/** A flag, environment variable or combination of them is wrong. */
class SettingsError : public Error
{
public:
    using Error::Error;
};

/** A declaration does not parse or contradicts itself. */
class DeclarationError : public Error
{
public:
    using Error::Error;
};

/** A platform service or a peer could not be reached or answered in error. */
class UnavailableError : public Error
{
public:
    using Error::Error;
};

/** A message from another process does not follow its protocol. */
class ProtocolError : public Error
{
public:
    using Error::Error;
};

} // namespace bronzeshed

#endif
