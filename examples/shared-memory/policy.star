# Which customer may use which model and version.
def allow(customer, model, version):
    if model == "lingua-large":
        return customer.tier != "bronze"
    return True

# When a cheap model is enough. step(model, accept=X) tries a model and keeps
# its answer if the rating service gives it at least X.
def route(customer, task, size):
    if task == "terminology" or customer.tier == "bronze":
        return [step("lingua-small")]
    if task == "segment" and size == "large":
        return [step("lingua-large")]
    return [step("lingua-small", accept = 0.7), step("lingua-large")]
