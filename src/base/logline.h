#ifndef BRONZESHED_BASE_LOGLINE_H
#define BRONZESHED_BASE_LOGLINE_H

#include <sstream>
#include <string>
#include <string_view>

namespace bronzeshed {

enum class LogLevel { Info, Warning, Error };

/**
 * Writes one event to the log as a line of key=value pairs when it goes out of scope. Values with
 * blanks, quotes or control characters are quoted and escaped.
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

/** Quotes @p value for a log line if it needs quotes. */
std::string quoteLogValue(std::string_view value);

/**
 * Sets up glog to write to standard error only; instances have no disk.
 * @param program name of the running program
 */
void initLogging(const char *program);

/**
 * Sends the log to standard output from now on. Lines are lost rather than that the program waits
 * for their reader.
 */
void logToStandardOutput();

} // namespace bronzeshed

#endif
