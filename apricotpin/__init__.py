"""Distribution of model weights in bursts while requests are served."""
