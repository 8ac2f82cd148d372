-- Promise: a zone taken out gets no new work after a few seconds, even from an entry that heard nothing; back, it ramps.
site{entries = 3, models = 6, orders = 2, seed = 17}
local function work(times)
  for i = 1, times do
    for e = 1, 3 do send{to = "entry-" .. e, body = "q" .. i .. e} end
    advance(50)
  end
end
work(40)
-- entry-3 hears of no change, but still reaches the sidecars.
for _, node in ipairs{"entry-1", "entry-2", "model-1", "model-2", "model-3", "model-4", "model-5", "model-6", "orders-1", "orders-2"} do
  cut("entry-3", node)
end
expect(zone_out("penafiel"), "the change was not accepted")
advance(500)
heal()
work(120)
expect(in_flight("model-2") == 0, "work in the zone")
expect(zone_in("penafiel"))
advance(100)
expect(limit("model-2") <= 2, "came back with limit " .. limit("model-2"))
work(200)
expect(limit("model-2") > 2, "never ramped: " .. limit("model-2"))
advance(20000)
expect_in_force()
expect_promises()
