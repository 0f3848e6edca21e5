"""Jobs made of steps: any VM accepts them, one VM schedules them, the store keeps them."""
