package capacity

func (set documents) reach() (string, error) { return "", nil }
func (set documents) roles() (string, error) { return "", nil }
