# Orders go through the large model for all but the smallest customers.
def allow(customer, model, version):
    if customer.tier == "bronze":
        return model == "dough-small"
    return True

def route(customer, task, size):
    if task == "status" or customer.tier == "bronze":
        return [step("dough-small")]
    if size == "small":
        return [step("dough-small", accept = 0.8), step("dough-large")]
    return [step("dough-large")]
