"""Choice of the node that receives a call."""
