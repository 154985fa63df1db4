#ifndef BRONZESHED_BASE_FILEDESCRIPTOR_H
#define BRONZESHED_BASE_FILEDESCRIPTOR_H

#include <unistd.h>
#include <utility>

namespace bronzeshed {

/** Owns a file descriptor and closes it on destruction. */
class FileDescriptor
{
public:
    explicit FileDescriptor(int descriptor = -1)
        : descriptor(descriptor)
    {
    }
    ~FileDescriptor() { this->close(); }
    FileDescriptor(FileDescriptor &&other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    {
    }
    FileDescriptor &operator=(FileDescriptor &&other) noexcept
    {
        if (this != &other) {
            this->close();
            this->descriptor = std::exchange(other.descriptor, -1);
        }
        return *this;
    }
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    int get() const { return this->descriptor; }

private:
    void close()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
        }
    }

    int descriptor;
};

} // namespace bronzeshed

#endif
