-- Failure: a sidecar pauses past every timeout and wakes with the order still in its socket.
site{entries = 2, models = 1, orders = 2, seed = 7}
for i = 1, 6 do
  local victim = "orders-" .. (i % 2 + 1)
  pause(victim)
  local key = "order-" .. i
  local first = send{to = "entry-1", service = "orders", key = key, body = key}
  advance(12500)
  expect(result(first).replied, key .. ": no answer at its deadline")
  local again = send{to = "entry-2", service = "orders", key = key, body = key}
  advance(1000)
  wake(victim)
  advance(12000)
  expect(result(again).replied, key .. ": the repeat has no answer")
  expect(runs(key) <= 1, key .. " ran " .. runs(key) .. " times")
end
expect_promises()
