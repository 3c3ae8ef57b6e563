mod cold;
