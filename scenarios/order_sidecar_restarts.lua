-- Failure: sidecars restart with orders in flight and forget what they revoked.
site{entries = 2, models = 1, orders = 2, seed = 9}
for i = 1, 20 do
  local key = "order-" .. i
  send{to = "entry-" .. (i % 2 + 1), service = "orders", key = key, body = key}
  advance(40 + i * 3)
  local victim = "orders-" .. (i % 2 + 1)
  kill(victim)
  advance(100)
  start(victim)
  send{to = "entry-" .. ((i + 1) % 2 + 1), service = "orders", key = key, body = key}
  advance(4000)
  expect(runs(key) <= 1, key .. " ran " .. runs(key) .. " times")
end
expect_promises()
