// The record of a run: what was sent, answered and run, with the time since the start.
#pragma once

#include "net.h"

#include <cstdarg>
#include <cstdio>
#include <mutex>

namespace review {

class Record
{
public:
    explicit Record(const std::string &path)
        : file(std::fopen(path.c_str(), "w"))
    {
        if (this->file == nullptr) {
            std::perror(path.c_str());
            std::exit(2);
        }
    }
    double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - this->start).count();
    }
    __attribute__((format(printf, 2, 3))) void write(const char *format, ...)
    {
        const std::lock_guard lock(this->mutex);
        std::fprintf(this->file, "%9.3f ", this->seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    Clock::time_point start = Clock::now();
    std::FILE *file;
};

} // namespace review
