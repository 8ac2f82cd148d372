-- Failures: an operator's reply is lost, nodes restart, messages are lost and doubled; revisions only go forward.
site{entries = 3, models = 6, seed = 37}
loss(0.2)
duplicate(0.2)
for i = 1, 6 do
  store{lose_replies = i % 2 == 0}
  expect(zone_out("paredes"), "out " .. i)
  advance(300)
  if i % 3 == 0 then kill("model-" .. i); advance(200); start("model-" .. i) end
  expect(zone_in("paredes"), "in " .. i)
  advance(300)
end
store{}
advance(4000)
expect_in_force()
-- Everything again with the store down for a node's start.
kill("entry-2")
store{down = true}
start("entry-2")
advance(8000)
expect_in_force()
expect_promises()
