-- Failures together: an entry dies while the store loses replies, a sidecar pauses, an engine stalls, links lose and double.
for seed = 1, 12 do
  site{entries = 3, models = 4, orders = 2, seed = seed}
  loss(0.1)
  duplicate(0.1)
  for i = 1, 25 do
    local key = "order-" .. i
    send{to = "entry-" .. (i % 3 + 1), service = "orders", key = key, body = key}
    send{to = "entry-" .. ((i + 1) % 3 + 1), body = "q" .. i, stream = true}
    if i % 5 == 0 then store{lose_replies = true} end
    if i % 7 == 0 then kill("entry-2") end
    if i % 6 == 0 then pause("orders-1") end
    if i % 4 == 0 then stall_engine("model-" .. (i % 4 + 1), 4000) end
    advance(120)
    send{to = "entry-" .. ((i + 2) % 3 + 1), service = "orders", key = key, body = key}
    advance(200 + i * 20)
    store{}
    wake("orders-1")
    if i % 7 == 0 then start("entry-2") end
  end
  advance(40000)
  expect_promises()
end
