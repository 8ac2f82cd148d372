// Bounds retries to a share of recent successes, so that a failing fleet is not buried under them.

#pragma once

#include "config/configtypes.h"
#include "framework/clock.h"

namespace daisymount::retry
{

/// Token bucket: a success adds budgetShare, time adds minimumPerSecond, a retry takes one.
class RetryBudget
{
public:
    RetryBudget(const config::RetryPolicy &policy, framework::Instant now);

    void setPolicy(const config::RetryPolicy &policy);
    void onSuccess(framework::Instant now);
    /// Takes one retry from the budget; returns false when it is spent.
    bool tryTake(framework::Instant now);
    /// Retries that are left, at most MAX_BALANCE.
    double balance() const;

    static constexpr double MAX_BALANCE = 20.0;

private:
    void refill(framework::Instant now);

    config::RetryPolicy policy_;
    framework::Instant refilledAt_;
    double balance_ = 1.0; ///< In [0, MAX_BALANCE].
};

} // namespace daisymount::retry
