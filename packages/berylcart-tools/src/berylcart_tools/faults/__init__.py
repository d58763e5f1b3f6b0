"""Break a running deployment and judge the history that is left."""
