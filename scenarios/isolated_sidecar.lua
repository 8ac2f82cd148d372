-- Failure: a sidecar is cut off from everything that could tell it that its zone is out. It stops taking work by itself.
site{entries = 3, models = 6, seed = 19}
advance(2000)
isolate("model-2")
advance(10000)
expect(zone_out(zone_of("model-2")))
advance(1000)
heal()
-- The first to reach it again is an entry with work.
for i = 1, 20 do send{to = "entry-" .. (i % 3 + 1), body = "q" .. i}; advance(20) end
advance(30000)
expect_in_force()
expect_promises()
