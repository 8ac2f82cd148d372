// The benches; each prints one table or more.

#pragma once

namespace daisymount::bench
{

void benchPlacement();
void benchRouting();
void benchOrganisations();
void benchClaims();
void benchControl();
void benchGroup();

} // namespace daisymount::bench
