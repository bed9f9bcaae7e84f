/** Teams and plans of the demo, as TOML. */

export const DEMO_PLANS = `
[services.orders]
profile = "prompt-detection"

[routes.check-order]
service = "orders"
methods = ["GET"]
path = "/orders/:id"
idempotent = true

[routes.place-order]
service = "orders"
methods = ["POST"]
path = "/orders"

[plans.pharmacy]
rate = 100
burst = 100
services = ["orders"]

[plans.visitor]
rate = 10
burst = 10
routes = ["check-order"]
`;

export const DEMO_TEAMS = `
[teams.harbour-hospital]
plan = "pharmacy"

[teams.fish-market]
plan = "visitor"
`;
