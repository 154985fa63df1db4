#include "base/logline.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <glog/logging.h>
#include <iomanip>
#include <unistd.h>

namespace bronzeshed {

namespace {

bool isPlain(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return std::isgraph(byte) != 0 && character != '"' && character != '\\' && character != '=';
}

} // namespace

std::string quoteLogValue(std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        return std::string(value);
    }
    std::ostringstream quoted;
    quoted << '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            quoted << '\\' << character;
        } else if (std::iscntrl(byte) != 0) {
            quoted << "\\x" << std::hex << std::setw(2) << std::setfill('0') << unsigned(byte);
        } else {
            quoted << character;
        }
    }
    quoted << '"';
    return quoted.str();
}

LogLine::LogLine(std::string_view event, LogLevel level)
    : level(level)
{
    this->line << "event=" << event;
}

LogLine::~LogLine()
{
    switch (this->level) {
    case LogLevel::Info:
        LOG(INFO) << this->line.str();
        break;
    case LogLevel::Warning:
        LOG(WARNING) << this->line.str();
        break;
    case LogLevel::Error:
        LOG(ERROR) << this->line.str();
        break;
    }
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    this->line << ' ' << key << '=' << quoteLogValue(value);
    return *this;
}

void initLogging(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
    // Writes a stack trace to the log if the program crashes.
    google::InstallFailureSignalHandler();
}

void logToStandardOutput()
{
    FLAGS_logtostderr = false;
    FLAGS_logtostdout = true;
    // Errors would go to standard error.
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    // By default the C library writes to a pipe in blocks. They arrive late, and are cut in the
    // middle of a line when the pipe is full.
    if (std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ) != 0) {
        LogLine("log_line_buffering_failed", LogLevel::Warning);
    }
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags < 0 || ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0) {
        LogLine("log_nonblocking_mode_failed", LogLevel::Warning)
            .add("error", std::strerror(errno));
    }
}

} // namespace bronzeshed
