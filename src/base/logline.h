#ifndef BRONZESHED_BASE_LOGLINE_H
#define BRONZESHED_BASE_LOGLINE_H

#include <sstream>
#include <string>
#include <string_view>

namespace bronzeshed {

enum class LogLevel { Info, Warning, Error };

/**
 * One log event, written as a line of key=value pairs on destruction. Values with blanks, quotes,
 * backslashes, equals signs or control characters are quoted and escaped.
 */
class LogLine
{
public:
    explicit LogLine(std::string_view event, LogLevel level = LogLevel::Info);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    LogLine &add(std::string_view key, std::string_view value);

    template<typename Number>
    requires std::is_arithmetic_v<Number> LogLine &add(std::string_view key, Number value)
    {
        this->line << ' ' << key << '=' << value;
        return *this;
    }

private:
    std::ostringstream line;
    LogLevel level;
};

/** Quotes and escapes @p value for a log line if necessary. */
std::string quoteLogValue(std::string_view value);

/**
 * Sets up glog to write to standard error only, because instances have no disk.
 * @param program name of the running program
 */
void initLogging(const char *program);

/**
 * Redirects the log to standard output. Writes do not block: lines are dropped if the reader of the
 * output is too slow.
 */
void logToStandardOutput();

} // namespace bronzeshed

#endif
