// Retry budget.

#include "retry/retrybudget.h"

#include <algorithm>

namespace daisymount::retry
{

RetryBudget::RetryBudget(const config::RetryPolicy &policy, framework::Instant now) : policy_(policy), refilledAt_(now)
{ }

void RetryBudget::setPolicy(const config::RetryPolicy &policy)
{
    policy_ = policy;
}

void RetryBudget::refill(framework::Instant now)
{
    if (now <= refilledAt_) {
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    balance_ = std::min(MAX_BALANCE, balance_ + elapsed * static_cast<double>(policy_.minimumPerSecond));
    refilledAt_ = now;
}

void RetryBudget::onSuccess(framework::Instant now)
{
    refill(now);
    balance_ = std::min(MAX_BALANCE, balance_ + policy_.budgetShare);
}

bool RetryBudget::tryTake(framework::Instant now)
{
    refill(now);
    if (balance_ < 1.0) {
        return false;
    }
    balance_ -= 1.0;
    return true;
}

double RetryBudget::balance() const
{
    return balance_;
}

} // namespace daisymount::retry
