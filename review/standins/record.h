// record.txt: what was sent, answered and run.

#pragma once

#include "wire.h"

#include <fstream>

namespace review
{

class Record
{
public:
    explicit Record(const std::string &path) : file_(path)
    { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        file_ << time << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review
