-- Promise: an upstream in cold start gets no more work than it bears, with all entries rushing it at once.
site{entries = 7, models = 2, seed = 29}
for round = 1, 60 do
  for e = 1, 7 do send{to = "entry-" .. e, body = "q" .. round .. "-" .. e} end
  advance(50)
  if round == 20 then crash_engine("model-1") end
  if round == 40 then kill("model-2"); start("model-2"); cool_engine("model-2") end
end
advance(30000)
expect_promises()
