"""Selection of the node or upstream that receives a call."""
